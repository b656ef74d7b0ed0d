package wire

import "context"

type lowPrecedenceKey struct{}

// WithLowPrecedence returns a context whose requests are refused first while the host that they are sent to has
// little memory left for requests.
func WithLowPrecedence(ctx context.Context) context.Context {
	return context.WithValue(ctx, lowPrecedenceKey{}, true)
}

func hasLowPrecedence(ctx context.Context) bool { return ctx.Value(lowPrecedenceKey{}) != nil }

package gate

// Names are the header fields by which a deployment's callers and targets call
// what a message carries. An empty name stands for a field that the deployment
// does not have.
type Names struct {
	// RequestID identifies one attempt of a caller; targets echo it.
	RequestID string
	// Deadline is how many milliseconds the sender will wait.
	Deadline string
	// Credential carries the caller's key behind Scheme.
	Credential string
	Scheme     string
	// Account tells a target for which account it works.
	Account string
	// Target names the target that is meant; another one does not run the
	// request.
	Target string
	// Signature is a target's proof that an answer is its own.
	Signature string
	// NotRun is a target's word that it has not run the request.
	NotRun string
	// Load is a target's report: running, waiting, slots.
	Load string
	// Priority ranks a request at the target, 0 first.
	Priority string
	// Prompt lists the parts of the prompt, as ID:TOKENS.
	Prompt string
	// Tokens holds the size of the prompt and the most that is generated.
	Tokens string
	// Program names a request's program.
	Program string
	// Budget is what all turns of the program may generate.
	Budget string
	// Previous names the turn that this one continues.
	Previous string
	// Internal lists the fields that only hosts of ours may set towards a
	// target; a caller's are dropped.
	Internal []string
}

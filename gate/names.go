package gate

// HeaderNames holds the names of the header fields that a deployment's callers and
// targets use. An empty name means that the deployment has no such field.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller. Targets echo it in the
	// response.
	RequestID string
	// Deadline is how long the sender waits for the response, in milliseconds.
	Deadline string
	// Credential carries the caller's key, preceded by the authentication scheme
	// CredentialScheme.
	Credential       string
	CredentialScheme string
	// Account names the account of a request to the target.
	Account string
	// Target is the ID of the intended target. A target with another ID does not
	// run the request.
	Target string
	// Signature is a target's proof that it produced the response.
	Signature string
	// NotRun is set by a target that did not run the request.
	NotRun string
	// Load is a target's load report: running requests, waiting requests, slots.
	Load string
	// TargetLimit is set by a target that accepts only so many requests per second
	// from all hosts together.
	TargetLimit string
	// Draining is "1" in the responses of a target that drains.
	Draining string
	// Priority is the priority of a request at the target; 0 is the most urgent.
	Priority string
	// PromptParts lists the parts of the prompt as comma-separated ID:TOKENS.
	PromptParts string
	// Tokens is the size of the prompt and the maximum number of generated
	// tokens, separated by a comma.
	Tokens string
	// Program is the ID of the request's program.
	Program string
	// Line names the line of turns of the program that the request belongs to. Sub-agents have lines of their own.
	Line string
	// Budget is how many tokens all turns of the program together may generate.
	Budget string
	// PreviousTurn is the ID of the turn that the request continues.
	PreviousTurn string
	// Internal lists the fields that only hosts may send to a target. They are
	// removed from callers' requests.
	Internal []string
}

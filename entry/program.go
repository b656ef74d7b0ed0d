package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/gorilla/mux"

	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
)

// openRequest is the body of POST /v1/programs.
type openRequest struct {
	// Program is an ID chosen by the caller, which makes the request
	// idempotent. If it is empty, a random ID is assigned.
	Program types.ProgramID `json:"program"`
	// Parent is the program of which the new program is a sub-agent, or empty.
	Parent types.ProgramID `json:"parent"`
	Budget budgetBody      `json:"budget"`
}

// budgetBody is the JSON representation of a budget.
type budgetBody struct {
	Calls   int64        `json:"calls"`
	Tokens  types.Tokens `json:"tokens"`
	Seconds float64      `json:"seconds"`
	Depth   int          `json:"depth"`
}

// maxBudgetSeconds limits the time budget of a program to 30 days.
const maxBudgetSeconds = 30 * 24 * 3600

func (b budgetBody) budget() ledger.Budget {
	return ledger.Budget{Calls: b.Calls, Tokens: b.Tokens, WallTime: time.Duration(b.Seconds * float64(time.Second)), Depth: b.Depth}
}

func newBudgetBody(b ledger.Budget) budgetBody {
	return budgetBody{Calls: b.Calls, Tokens: b.Tokens, Seconds: b.WallTime.Seconds(), Depth: b.Depth}
}

// programBody is the JSON representation of the state of a program.
type programBody struct {
	Program   types.ProgramID  `json:"program"`
	Parent    types.ProgramID  `json:"parent,omitempty"`
	Budget    budgetBody       `json:"budget"`
	Remaining budgetBody       `json:"left"`
	NextCall  types.CallNumber `json:"nextCall"`
	Running   bool             `json:"running"`
	Ended     bool             `json:"ended"`
}

func newProgramBody(s ledger.Summary) programBody {
	return programBody{
		Program: s.Program, Parent: s.Parent, Budget: newBudgetBody(s.Budget), Remaining: newBudgetBody(s.Remaining),
		NextCall: types.CallNumber(s.Closed + 1), Running: s.Running, Ended: s.Ended,
	}
}

// openProgram handles POST /v1/programs.
func (e *Entry) openProgram(w http.ResponseWriter, r *http.Request) error {
	c, err := e.authenticate(r)
	if err != nil {
		return err
	}
	req, err := decodeBody[openRequest](e, w, r)
	if err != nil {
		return err
	}
	if req.Program == "" {
		req.Program = types.ProgramID(types.RandomID())
	}
	if err := req.validate(); err != nil {
		return err
	}
	open := ledger.Open{Account: c.account, Program: req.Program, Parent: req.Parent, Budget: req.Budget.budget()}
	return e.runProgramCommand(w, r, c, http.StatusCreated, ledger.Command{Open: &open})
}

func (o openRequest) validate() error {
	if !types.ValidName(o.Program) {
		return types.NewFault(types.CodeBadRequest, "program: %q is not a valid id", o.Program)
	}
	if o.Parent != "" && !types.ValidName(o.Parent) {
		return types.NewFault(types.CodeBadRequest, "parent: %q is not a valid id", o.Parent)
	}
	if !(o.Budget.Seconds > 0 && o.Budget.Seconds <= maxBudgetSeconds) {
		return types.NewFault(types.CodeBadRequest, "budget.seconds: %v must be greater than 0 and at most %d", o.Budget.Seconds, maxBudgetSeconds)
	}
	return nil
}

// runProgramCommand submits a command to the ledger and responds with the state
// of the program.
func (e *Entry) runProgramCommand(w http.ResponseWriter, r *http.Request, c caller, status int, cmd ledger.Command) error {
	ctx, cancel := context.WithTimeout(r.Context(), ledgerTimeout)
	defer cancel()
	result, err := e.Client.SubmitCommand(ctx, c.account, cmd)
	if err != nil {
		return err
	}
	writeJSON(w, status, newProgramBody(*result.Program))
	return nil
}

// endProgram handles POST /v1/programs/{program}/end.
func (e *Entry) endProgram(w http.ResponseWriter, r *http.Request) error {
	c, err := e.authenticate(r)
	if err != nil {
		return err
	}
	end := ledger.End{Account: c.account, Program: programFromPath(r)}
	return e.runProgramCommand(w, r, c, http.StatusOK, ledger.Command{End: &end})
}

// readProgram handles GET /v1/programs/{program}.
func (e *Entry) readProgram(w http.ResponseWriter, r *http.Request) error {
	c, err := e.authenticate(r)
	if err != nil {
		return err
	}
	reply, err := e.fetchProgram(r.Context(), c, programFromPath(r), false)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newProgramBody(reply.Program))
	return nil
}

// historyBody is the response to GET /v1/programs/{program}/history.
type historyBody struct {
	Program types.ProgramID `json:"program"`
	Calls   []callBody      `json:"calls"`
}

// callBody is the JSON representation of a closed call. Request and Response
// are encoded by embedJSON.
type callBody struct {
	Number   types.CallNumber `json:"number"`
	Service  types.ServiceID  `json:"service"`
	Outcome  ledger.Outcome   `json:"outcome"`
	Status   int              `json:"status,omitempty"`
	Tokens   types.Tokens     `json:"tokens,omitempty"`
	Request  json.RawMessage  `json:"request"`
	Response json.RawMessage  `json:"response,omitempty"`
	Error    *errorDetail     `json:"error,omitempty"`
}

// readHistory handles GET /v1/programs/{program}/history.
func (e *Entry) readHistory(w http.ResponseWriter, r *http.Request) error {
	c, err := e.authenticate(r)
	if err != nil {
		return err
	}
	reply, err := e.fetchProgram(r.Context(), c, programFromPath(r), true)
	if err != nil {
		return err
	}
	body := historyBody{Program: reply.Program.Program, Calls: []callBody{}}
	for _, call := range reply.Calls {
		body.Calls = append(body.Calls, newCallBody(call))
	}
	writeJSON(w, http.StatusOK, body)
	return nil
}

func newCallBody(call ledger.Call) callBody {
	b := callBody{
		Number: call.Number, Service: call.Service, Outcome: call.Outcome, Status: call.Status,
		Tokens: call.Tokens, Request: embedJSON(call.Request),
	}
	if len(call.Response) > 0 {
		b.Response = embedJSON(call.Response)
	}
	if call.Fault != nil {
		d := newErrorDetail(call.Fault)
		b.Error = &d
	}
	return b
}

// embedJSON returns b as a JSON value: unchanged if it is valid JSON, as a
// string if it is valid UTF-8, and as a base64 string otherwise.
func embedJSON(b []byte) json.RawMessage {
	if json.Valid(b) {
		return b
	}
	var v any = b
	if utf8.Valid(b) {
		v = string(b)
	}
	encoded, _ := json.Marshal(v) // Marshaling a string or a byte slice never fails.
	return encoded
}

// fetchProgram returns the state of a program of the caller's account, with its
// closed calls if history is set.
func (e *Entry) fetchProgram(ctx context.Context, c caller, id types.ProgramID, history bool) (ctrl.ProgramReply, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	return e.Client.Program(ctx, c.account, id, history)
}

func programFromPath(r *http.Request) types.ProgramID { return types.ProgramID(mux.Vars(r)["program"]) }

package event

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Outcome is how one request ended, by the log of the entry host that had it.
type Outcome struct {
	// Request is its ID, and Source the host or file whose lines tell of it.
	Request, Source string
	// Time is that of the first line.
	Time time.Time
	// Previous is the turn that it continues, if the log has it.
	Previous string
	// Status is that of the response, and Took the time until its end. Both are 0 if no line tells the end.
	Status int
	Took   time.Duration
	// Broken is set if the response was cut off.
	Broken bool
	// Targets are those that it was sent to; Reached is set if one of them has got it for certain or perhaps.
	Targets []string
	Reached bool
	// Cause tells why it did not succeed.
	Cause string
	// Shard describes the shard of its program, and Missing why stores did not reply.
	Shard, Missing string

	lines []Line
}

// Lines returns the lines of the request in order of time.
func (o Outcome) Lines() []Line { return o.lines }

// Outcomes returns the outcomes of all requests that lines tell of, by the time of their first lines. The lines of
// a request that several hosts had are one outcome for each.
func Outcomes(lines []Line) []Outcome {
	type key struct{ request, source string }
	found := map[key]*Outcome{}
	var list []*Outcome
	lines = slices.Clone(lines)
	Sort(lines)
	for _, l := range lines {
		k := key{l.Request(), l.Source}
		if found[k] == nil {
			found[k] = &Outcome{Request: k.request, Source: k.source, Time: l.Time}
			list = append(list, found[k])
		}
		found[k].add(l)
	}
	outcomes := make([]Outcome, 0, len(list))
	for _, o := range list {
		outcomes = append(outcomes, *o)
	}
	return outcomes
}

// add adds what a line tells of the request.
func (o *Outcome) add(l Line) {
	o.lines = append(o.lines, l)
	setText(&o.Previous, l.Fields["previous"])
	if shard, ok := l.Fields["shard"].(float64); ok && (o.Shard == "" || l.Fields["current"] != nil) { // 405 tells more than 407.
		o.Shard = fmt.Sprintf("shard %.0f", shard)
		for _, name := range []string{"current", "next", "stores"} {
			if list, ok := l.Fields[name].([]any); ok {
				o.Shard += fmt.Sprintf(", %s %s", name, strings.Trim(fmt.Sprint(list), "[]"))
			}
		}
	}
	if lacking, ok := l.Fields["lacking"].([]any); ok {
		var texts []string
		for _, store := range lacking {
			if fields, ok := store.(map[string]any); ok {
				texts = append(texts, lackingText(fields))
			}
		}
		slices.Sort(texts)
		o.Missing = strings.Join(texts, "; ")
	}
	switch l.Number {
	case RequestSent.Number:
		if target, ok := l.Fields["target"].(string); ok {
			o.Targets = append(o.Targets, target)
		}
		o.Reached = o.Reached || l.Fields["answered"] == true
	case RequestRefused.Number:
		if o.Cause == "" { // 409 tells more.
			setText(&o.Cause, l.Fields["reason"])
		}
		o.setEnd(l)
		o.Reached = o.Reached || l.Fields["sent"] == true
	case BudgetDecided.Number:
		setText(&o.Cause, l.Fields["reason"])
	case TurnDurable.Number:
		setText(&o.Cause, l.Fields["error"])
	case RequestEnded.Number:
		if o.Cause == "" {
			setText(&o.Cause, l.Fields["cause"])
		}
		o.setEnd(l)
		o.Broken = l.Fields["broken"] == true
		if runs, ok := l.Fields["runs"].(float64); ok && runs > 0 {
			o.Reached = true
		}
	}
}

// lackingText returns the host of a store without a reply, and why there is none.
func lackingText(fields map[string]any) string {
	text := fmt.Sprintf("%v: %v", fields["host"], fields["reason"])
	if fault, ok := fields["fault"].(string); ok && fault != "" {
		text += ", " + fault
	}
	return text
}

// setEnd sets the status and the time that a line of the end has.
func (o *Outcome) setEnd(l Line) {
	if status, ok := l.Fields["status"].(float64); ok {
		o.Status = int(status)
	}
	if ms, ok := l.Fields["tookMs"].(float64); ok {
		o.Took = time.Duration(ms) * time.Millisecond
	}
}

// setText sets a text to that of a field, if it has one.
func setText(text *string, field any) {
	if s, ok := field.(string); ok && s != "" {
		*text = s
	}
}

// String formats the outcome for people: when, on which host, how it ended, at which target, why, and by which
// stores.
func (o Outcome) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", o.Time.Format("15:04:05.000"), o.Source, o.Request)
	if o.Previous != "" {
		fmt.Fprintf(&b, " (continues %s)", o.Previous)
	}
	switch {
	case o.Status == 0:
		b.WriteString(": no end is logged")
	case o.Broken:
		fmt.Fprintf(&b, ": %d, cut off after %v", o.Status, o.Took)
	default:
		fmt.Fprintf(&b, ": %d after %v", o.Status, o.Took)
	}
	switch {
	case len(o.Targets) == 0:
		b.WriteString(", reached no target")
	case o.Reached:
		fmt.Fprintf(&b, ", reached %s", strings.Join(o.Targets, " "))
	default:
		fmt.Fprintf(&b, ", sent to %s without a response", strings.Join(o.Targets, " "))
	}
	for _, text := range []string{o.Cause, o.Shard} {
		if text != "" {
			fmt.Fprintf(&b, "; %s", text)
		}
	}
	if o.Missing != "" {
		fmt.Fprintf(&b, "; without a reply: %s", o.Missing)
	}
	return b.String()
}

package quorum

import "slices"

// Merge adds the output that follows o to o. Carrying out the result has the same effect as
// carrying out both in order, except that a message may be left out if a later one to the
// same replica replaces it. HardState, Entries and AfterSync stay bounded by the state of the
// core and the number of replicas, however many outputs are merged.
func (o *Output) Merge(next Output) {
	if next.HardState != nil {
		o.HardState = next.HardState
	}
	if next.Install != nil {
		o.Install, o.Entries = next.Install, nil
	}
	o.mergeEntries(next.Entries)
	o.Immediate = append(o.Immediate, next.Immediate...)
	for _, m := range next.AfterSync {
		o.mergeAfterSync(m)
	}
	o.Committed = append(o.Committed, next.Committed...)
}

// mergeEntries adds entries, which replace everything from their first index on.
func (o *Output) mergeEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	if len(o.Entries) == 0 || entries[0].Index <= o.Entries[0].Index {
		o.Entries = entries
		return
	}
	keep := entries[0].Index - o.Entries[0].Index
	o.Entries = append(o.Entries[:keep:keep], entries...)
}

// mergeAfterSync adds a message, which replaces an earlier one of the same kind to the same
// replica; the confirmation of a probe, see cold.go, is not of the kind of a pre-vote. Of two
// acknowledgements in the same term, the highest index and time count, since a log that matches
// that of a term's leader continues to do so.
func (o *Output) mergeAfterSync(m Message) {
	i := slices.IndexFunc(o.AfterSync, func(p Message) bool {
		return p.Kind == m.Kind && p.To == m.To && (m.Kind != MsgPreVoteReply || p.Cold == m.Cold)
	})
	if i < 0 {
		o.AfterSync = append(o.AfterSync, m)
		return
	}
	earlier := o.AfterSync[i]
	if m.Kind == MsgAppendReply && m.Term == earlier.Term && !m.Refused && !earlier.Refused {
		m.Index, m.SentAt = max(m.Index, earlier.Index), max(m.SentAt, earlier.SentAt)
	}
	o.AfterSync = append(slices.Delete(o.AfterSync, i, i+1), m)
}

// needsSync reports whether o has anything to make durable.
func (o *Output) needsSync() bool {
	return o.HardState != nil || o.Install != nil || len(o.Entries) > 0
}

// Contact returns the part of a reply to an append or a snapshot that does not depend on a
// sync: that the replica has heard the leader, and elects no other for MinElectionTimeout. It
// confirms no entry. It may be sent before the reply itself if the reply's term is durable.
// ok is false for any other message.
//
// It has the form of a refusal that echoes index 0, which leaders take to be superseded: they
// only record that the replica has replied.
func (m Message) Contact() (contact Message, ok bool) {
	if m.Kind != MsgAppendReply || m.To == m.From || m.SentAt == 0 {
		return Message{}, false
	}
	return Message{Kind: MsgAppendReply, From: m.From, To: m.To, Term: m.Term, Refused: true, SentAt: m.SentAt}, true
}

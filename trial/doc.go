// Package trial plays programs against engines on virtual time, to compare ways
// of choosing targets.
//
// Entry hosts know of other hosts only what they exchange now and then, as in
// a fleet. Engines batch: a token takes longer the more requests run, and a
// prompt is read in chunks between the tokens of the others. A [Trial] with the
// same seed plays the same way every time.
package trial

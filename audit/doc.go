// Package audit implements a tamper-evident audit trail. Each record contains the
// hash of the record before it, so that [Verify] detects missing, modified and
// reordered records.
package audit

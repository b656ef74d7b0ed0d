package audit_test

import (
	"fmt"

	"github.com/banyanspur/banyanspur/audit"
)

// ExampleVerify verifies a complete trail and one whose first record is missing.
func ExampleVerify() {
	first := audit.Append(audit.Record{}, audit.Record{Operator: "operator-1", Summary: "withdraw key", From: 1, To: 2, Outcome: "accepted"})
	second := audit.Append(first, audit.Record{Operator: "operator-2", Summary: "raise rate", From: 2, To: 3, Outcome: "accepted"})
	fmt.Println(audit.Verify(audit.Record{}, []audit.Record{first, second}))
	fmt.Println(audit.Verify(audit.Record{}, []audit.Record{second}))
	// Output:
	// <nil>
	// audit: record 2 follows record 0
}

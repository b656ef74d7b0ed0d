// Package limit enforces the rate and burst limits of client accounts.
//
// A [Bucket] is a token bucket for one account. An [Issuer] divides one account's
// limit among hosts by [Allotment]s that expire, and a [Share] is the part of it
// on one host.
package limit

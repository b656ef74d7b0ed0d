// Package limit enforces the rate and burst limits of client accounts.
//
// A [Bucket] is a token bucket for one account. An [Issuer] divides one account's
// limit among hosts by means of [Allotment]s, which expire. A [Share] is one host's
// part of the limit.
package limit

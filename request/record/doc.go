// Package record defines the decision records that explain every outcome
// afterwards, a ring buffer of recent records, and the sentences that describe a
// record in a timeline. Records hold no bodies and no personal data.
//
// It imports request/attempt.
package record

// Package retry decides whether a request gets another attempt, either a retry
// after a failure or a hedge while an attempt is in progress, and which targets,
// nodes and domains that attempt excludes or avoids.
//
// It imports request/attempt.
package retry

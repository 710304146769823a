// Package questionnaire asks operators about their services in their own terms,
// checks the answers and derives a configuration from them.
//
// It imports finding and version/config.
package questionnaire

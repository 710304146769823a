// Package settings reads the settings of one node from TOML, reports all
// errors with file and line, and holds a commented template.
//
// It imports finding.
package settings

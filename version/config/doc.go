// Package config holds the configuration of the fleet: its model, its TOML form,
// its validation, the state that results from the changes in the log, snapshots,
// differences, rollback and the publication of a change.
//
// A configuration consists of objects. Each has a path and a TOML value:
//
//	customers        customer_header
//	services/NAME    one Service
//	accounts/NAME    one Account
//	routes/ID        one Route; id may be left out
//
// It imports finding, eventlog and request packages.
package config

// Package logfile reads saved log lines of many processes: the decision records
// that lines contain, and lines without a record as notes. Lines that are
// truncated, of another program or not JSON are skipped, counted and reported with
// file and line number. The order of lines and files does not matter.
//
// It imports request packages.
package logfile

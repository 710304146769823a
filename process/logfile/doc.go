// Package logfile reads saved log lines of many processes: the decision records
// that the lines hold, and lines without a record as notes. Lines that are cut,
// of another program or not JSON are skipped, counted and named with their
// place. The order of lines and files does not matter.
package logfile

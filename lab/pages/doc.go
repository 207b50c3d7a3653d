// Package pages holds the documents to the code. Its tests write the tables of
// docs/SETTINGS.md and docs/EVENTS.md when run with -update:
//
//	go test ./lab/pages -update
package pages

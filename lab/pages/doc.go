// Package pages tests that the documents agree with the code. With -update its
// tests write the generated parts of the pages:
//
//	go test ./lab/pages -update
package pages

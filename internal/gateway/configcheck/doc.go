// Package configcheck finds what is suspicious in a configuration that a gateway accepts, and
// what changes from one configuration to the next.
//
// It owns the findings of the command check. It relies on package route for how a request
// finds its route and its service. Package platform decodes the configuration, names its
// fields and reports what a gateway refuses.
package configcheck

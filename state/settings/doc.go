// Package settings holds the typed documents of the settings tree.
//
// The tree has three kinds of document: /teams/<team>, /failure-domains/<name> and /upstreams/<name>.
package settings

// Package settings defines the documents of the settings tree and checks, versions and redacts them.
//
// The tree has three kinds of documents: /teams/<team>, /failure-domains/<name> and /upstreams/<name>.
package settings

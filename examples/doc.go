// Package examples holds example configurations for two users, and tests that they are valid.
package examples

// Package examples holds the example settings of two users, which its test checks.
package examples

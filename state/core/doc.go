// Package core holds the value types that every layer shares.
package core

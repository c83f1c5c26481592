// Package layers tests the import rules between the project's layers.
package layers

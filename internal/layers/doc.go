// Package layers checks the order of the project's layers.
package layers

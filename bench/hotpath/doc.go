// Package hotpath contains Go benchmarks of code that runs for every request.
package hotpath

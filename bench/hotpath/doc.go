// Package hotpath holds Go benchmarks of the product's decisions that run for every request.
package hotpath

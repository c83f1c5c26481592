// Package e2e tests guavatrestled end to end, as real processes with stand-ins for the systems around them.
package e2e

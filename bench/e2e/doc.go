// Package e2e tests guavatrestled with real processes against the stand-ins.
package e2e

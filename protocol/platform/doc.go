// Package platform defines the interfaces to the systems outside guavatrestle and their messages.
package platform

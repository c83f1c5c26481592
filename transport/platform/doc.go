// Package platform implements the interfaces of protocol/platform over HTTP.
package platform

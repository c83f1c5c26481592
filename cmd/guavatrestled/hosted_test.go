package main

import (
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/platform"
)

// TestKeysAreRequiredWhereThePlatformHasTeams guards against an entry that reads the platform's contracts and doesn't act on them.
func TestKeysAreRequiredWhereThePlatformHasTeams(t *testing.T) {
	for _, required := range []bool{true, false} {
		deps := entryDependencies(platform.Settings{StoreAddress: "127.0.0.1:1", KeysRequired: required}, logrus.NewEntry(logrus.New()))
		require.Equal(t, required, deps.Ingress.RequireKeys)
	}
}

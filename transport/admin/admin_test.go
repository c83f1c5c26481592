package admin_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/objecttest"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/admin"
)

const (
	operator  = "operator-token"
	teamAdmin = "litoral-admin-token"
	domainA   = `{"region":"centro","state":"in"}`
)

func hash(token string) string { return string(core.DigestOf([]byte(token))) }

func teamBody(weight string) string {
	return `{"token_hashes":["` + hash("caller") + `"],"admin_token_hashes":["` + hash(teamAdmin) +
		`"],"limits":{"requests_per_second":1,"burst":1,"queue_length":1},"weight":` + weight + `}`
}

// testAPI is an admin API with an in-memory store and a clock that the test sets.
type testAPI struct {
	t         *testing.T
	store     *objecttest.Store
	settings  *table.Settings
	members   *table.Members
	upstreams *table.Upstreams
	handler   http.Handler
	log       bytes.Buffer
	now       time.Time
}

func newTestAPI(t *testing.T) *testAPI {
	r := &testAPI{
		t: t, store: objecttest.New(), settings: table.NewSettings(), members: table.NewMembers(),
		upstreams: table.NewUpstreams(), now: time.Unix(1000, 0),
	}
	r.useStore(r.store)
	return r
}

// useStore rebuilds the admin API with the given store.
func (r *testAPI) useStore(store *objecttest.Store) {
	r.store = store
	logger := logrus.New()
	logger.SetOutput(&r.log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	mux := http.NewServeMux()
	admin.NewHandler(admin.Dependencies{
		Store: r.store, Settings: r.settings, Members: r.members, Upstreams: r.upstreams,
		TokenHashes: []core.Digest{core.Digest(hash(operator))},
		Now:         func() time.Time { return r.now }, Log: logrus.NewEntry(logger),
	}).Register(mux)
	r.handler = mux
}

func (r *testAPI) call(token, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "/admin/v1"+path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	response := httptest.NewRecorder()
	r.handler.ServeHTTP(response, request)
	return response
}

func (r *testAPI) put(token, path string, base string, body string) *httptest.ResponseRecorder {
	return r.call(token, http.MethodPut, "/settings"+path, `{"base_version":`+base+`,"body":`+body+`}`)
}

func (r *testAPI) decode(response *httptest.ResponseRecorder, status int, into any) {
	r.t.Helper()
	require.Equal(r.t, status, response.Code, response.Body.String())
	require.NoError(r.t, json.Unmarshal(response.Body.Bytes(), into))
}

// TestRacingEditGetsDiff guards against an edit that overwrites another one accepted after its base version.
func TestRacingEditGetsDiff(t *testing.T) {
	r := newTestAPI(t)
	require.Equal(t, 200, r.put(operator, "/failure-domains/a", "0", domainA).Code)
	require.Equal(t, 200, r.put(operator, "/failure-domains/a", "1", `{"region":"centro","state":"out"}`).Code)
	var refusal api.AdminRefusal
	r.decode(r.put(operator, "/failure-domains/a", "1", `{"region":"norte","state":"in"}`), http.StatusConflict, &refusal)
	require.Equal(t, uint64(2), refusal.Conflict.CurrentVersion)
	require.Equal(t, []settings.Change{{Field: "state", From: []byte(`"in"`), To: []byte(`"out"`)}}, refusal.Conflict.BaseToCurrent)
	require.Equal(t, []settings.Change{{Field: "region", From: []byte(`"centro"`), To: []byte(`"norte"`)}}, refusal.Conflict.BaseToEdit)
	var doc settings.Document
	r.decode(r.call(operator, http.MethodGet, "/settings/failure-domains/a", ""), 200, &doc)
	require.JSONEq(t, `{"region":"centro","state":"out"}`, string(doc.Body))
}

// TestLostWriteIsSettledByNonce guards against an accepted edit that is reported as failed or written twice, after the
// request or the response of its write was lost.
func TestLostWriteIsSettledByNonce(t *testing.T) {
	for name, fault := range map[string]objecttest.Fault{"before": objecttest.RequestLost, "after": objecttest.ResponseLost} {
		t.Run(name, func(t *testing.T) {
			r := newTestAPI(t)
			pending := true
			r.store.NextFault = func(operation string) objecttest.Fault {
				if pending && (operation == "create" || operation == "update") {
					pending = false
					return fault
				}
				return objecttest.NoFault
			}
			require.Equal(t, 200, r.put(operator, "/failure-domains/a", "0", domainA).Code)
			pending = true
			require.Equal(t, 200, r.put(operator, "/failure-domains/a", "1", `{"region":"centro","state":"out"}`).Code)
			var history api.History
			r.decode(r.call(operator, http.MethodGet, "/history/failure-domains/a", ""), 200, &history)
			require.Len(t, history.Revisions, 2)
		})
	}
}

// TestUnsettledWriteIsUnknown guards against a write that is reported as not run although its response was lost and the
// document can't be read back.
func TestUnsettledWriteIsUnknown(t *testing.T) {
	r := newTestAPI(t)
	r.store.NextFault = func(operation string) objecttest.Fault {
		switch operation {
		case "create":
			return objecttest.ResponseLost
		case "get":
			return objecttest.Unavailable
		}
		return objecttest.NoFault
	}
	var refusal api.Refusal
	r.decode(r.put(operator, "/failure-domains/a", "0", domainA), http.StatusBadGateway, &refusal)
	require.Equal(t, api.RunUnknown, refusal.Run)
	r.store.NextFault = func(string) objecttest.Fault { return objecttest.Unavailable }
	response := r.put(operator, "/failure-domains/b", "0", domainA)
	r.decode(response, http.StatusServiceUnavailable, &refusal)
	require.Equal(t, api.RunNotRun, refusal.Run)
	require.NotEmpty(t, response.Header().Get("Retry-After"))
}

// TestTeamAdminIsConfined guards against a team administrator who can change the limits of the team, read another team's
// settings or use the endpoints for operators.
func TestTeamAdminIsConfined(t *testing.T) {
	r := newTestAPI(t)
	require.Equal(t, 200, r.put(operator, "/teams/litoral", "0", teamBody("1")).Code)
	require.Equal(t, 200, r.put(operator, "/failure-domains/a", "0", domainA).Code)
	var refusal api.AdminRefusal
	changed := strings.Replace(strings.Replace(teamBody("9"), `"burst":1`, `"burst":5`, 1), `"weight"`, `"failure_domains":["a"],"weight"`, 1)
	r.decode(r.put(teamAdmin, "/teams/litoral", "1", changed), 400, &refusal)
	require.Len(t, refusal.Problems, 3)
	rotated := strings.Replace(teamBody("1"), hash("caller"), hash("rotated"), 1)
	require.Equal(t, 200, r.put(teamAdmin, "/teams/litoral", "1", rotated).Code)
	forbidden := [][2]string{
		{"GET", "/settings/teams/ajiboye"},
		{"PUT", "/settings/teams/ajiboye"},
		{"GET", "/history/failure-domains/a"},
		{"GET", "/diff/failure-domains/a"},
		{"DELETE", "/settings/teams/litoral?base_version=2"},
		{"POST", "/failure-domains/a/state"},
		{"GET", "/rollouts"},
		{"GET", "/status"},
		{"GET", "/dump"},
	}
	for _, f := range forbidden {
		require.Equal(t, http.StatusForbidden, r.call(teamAdmin, f[0], f[1], "{}").Code, f)
	}
	var list api.DocumentList
	r.decode(r.call(teamAdmin, http.MethodGet, "/settings", ""), 200, &list)
	require.Len(t, list.Documents, 1)
	require.Equal(t, 401, r.call("caller", http.MethodGet, "/settings", "").Code, "a caller's token was accepted")
}

// TestResponsesHoldNoTokenHash guards against responses and log lines that contain a complete token hash.
func TestResponsesHoldNoTokenHash(t *testing.T) {
	r := newTestAPI(t)
	responses := r.put(operator, "/teams/litoral", "0", teamBody("1")).Body.String()
	rotated := strings.Replace(teamBody("2"), hash("caller"), hash("second"), 1)
	responses += r.put(operator, "/teams/litoral", "1", rotated).Body.String()
	responses += r.put(operator, "/teams/litoral", "1", rotated).Body.String()
	responses += r.put(operator, "/teams/other", "0", teamBody("1")).Body.String()
	for _, path := range []string{"/settings", "/settings/teams/litoral", "/history/teams/litoral", "/diff/teams/litoral", "/dump"} {
		response := r.call(operator, http.MethodGet, path, "")
		require.Equal(t, 200, response.Code, path)
		responses += response.Body.String()
	}
	for _, token := range []string{"caller", "second", teamAdmin, operator} {
		require.NotContains(t, responses+r.log.String(), hash(token))
	}
	require.Contains(t, responses, "redacted:"+hash("second")[:8])
	require.Contains(t, r.log.String(), `"who":"operator/`+hash(operator)[:8]+`"`)
}

// TestReadDocumentCanBeSentBack guards against token hashes that are lost when a client sends back a document whose hashes
// were redacted.
func TestReadDocumentCanBeSentBack(t *testing.T) {
	r := newTestAPI(t)
	r.put(operator, "/teams/litoral", "0", teamBody("1"))
	var doc settings.Document
	r.decode(r.call(operator, http.MethodGet, "/settings/teams/litoral", ""), 200, &doc)
	require.Equal(t, 200, r.put(operator, "/teams/litoral", "1", string(doc.Body)).Code)
	_, ok := r.settings.Tree().TeamByToken("caller")
	require.True(t, ok)
}

// TestRetiredTeamStaysRetired guards against a retired team that becomes active again when a process merges an older
// version of its document.
func TestRetiredTeamStaysRetired(t *testing.T) {
	r := newTestAPI(t)
	r.put(operator, "/teams/litoral", "0", teamBody("1"))
	before := r.settings.Documents()
	require.Equal(t, 200, r.call(operator, http.MethodDelete, "/settings/teams/litoral?base_version=1", "").Code)
	_, err := r.settings.Merge(before)
	require.NoError(t, err)
	require.Empty(t, r.settings.Tree().Teams)
	var recreated api.ApplyResult
	r.decode(r.put(operator, "/teams/litoral", "0", teamBody("1")), 200, &recreated)
	require.Equal(t, uint64(3), recreated.Version)
}

// TestDryRunWritesNothing guards against a dry run that writes to the store or changes the settings.
func TestDryRunWritesNothing(t *testing.T) {
	r := newTestAPI(t)
	response := r.call(operator, http.MethodPut, "/settings/failure-domains/a", `{"body":`+domainA+`,"dry_run":true}`)
	require.Equal(t, 200, response.Code)
	require.Zero(t, r.store.CallCount("create"))
	require.Empty(t, r.settings.Documents())
}

// TestDomainLeavesDespiteRacingEdit guards against a failure domain that stays in service because the change of its state
// conflicted with a concurrent edit.
func TestDomainLeavesDespiteRacingEdit(t *testing.T) {
	r := newTestAPI(t)
	r.put(operator, "/failure-domains/a", "0", domainA)
	raced := false
	r.store.NextFault = func(operation string) objecttest.Fault {
		// Another edit is accepted after the request has read the document.
		if operation == "list" && !raced {
			raced = true
			require.Equal(t, 200, r.put(operator, "/failure-domains/a", "1", `{"region":"norte","state":"in"}`).Code)
		}
		return objecttest.NoFault
	}
	request := func() *httptest.ResponseRecorder {
		return r.call(operator, http.MethodPost, "/failure-domains/a/state", `{"state":"out"}`)
	}
	require.Equal(t, 200, request().Code)
	require.True(t, raced)
	require.False(t, r.settings.Tree().InService("a"))
	require.Equal(t, 200, request().Code, "the request repeated")
	require.Equal(t, uint64(3), r.settings.Documents()[0].Version, "the repeated request created a version")
	require.Equal(t, 400, r.call(operator, http.MethodPost, "/failure-domains/a/state", `{"state":"gone"}`).Code)
	require.Equal(t, 404, r.call(operator, http.MethodPost, "/failure-domains/z/state", `{"state":"out"}`).Code)
}

// TestRateIsLimitedPerToken guards against one client that exhausts the rate limit of the object API.
func TestRateIsLimitedPerToken(t *testing.T) {
	r := newTestAPI(t)
	status := 0
	for range 41 {
		response := r.call(operator, http.MethodGet, "/settings", "")
		status = response.Code
	}
	require.Equal(t, http.StatusTooManyRequests, status)
	for range 100 {
		r.call("guess", http.MethodGet, "/settings", "")
	}
	require.Equal(t, http.StatusTooManyRequests, r.call("guess", http.MethodGet, "/settings", "").Code)
	r.now = r.now.Add(time.Second)
	require.Equal(t, 200, r.call(operator, http.MethodGet, "/settings", "").Code, "the rate limit did not recover")
}

// TestRolloutNamesHostsBehind guards against a rollout that is reported as complete while hosts do not serve the version.
func TestRolloutNamesHostsBehind(t *testing.T) {
	r := newTestAPI(t)
	target := strings.Repeat("d", 64)
	body := `{"kind":"model","model":"guava","target":{"version":"v1","digest":"` + target + `","size":100},"cold_limit":1,"warm_limit":1,"warmup_completions":0,"min_warm":0}`
	require.Equal(t, 200, r.put(operator, "/upstreams/guava-llm", "0", body).Code)
	var hosts []core.Host
	for _, id := range []core.HostID{"h1", "h2", "h3"} {
		hosts = append(hosts, core.Host{ID: id, Role: core.RoleAgent, Upstream: "guava-llm", FailureDomain: "a"})
	}
	r.members.Replace(hosts)
	r.upstreams.Set(core.AgentStatus{Host: hosts[0], VersionDigest: core.Digest(target), OriginBytes: 150})
	r.upstreams.Set(core.AgentStatus{Host: hosts[1], TargetDigest: core.Digest(target), ChunksHeld: 1, ChunksTotal: 4, OriginBytes: 50})
	var status api.RolloutStatus
	r.decode(r.call(operator, http.MethodGet, "/rollouts", ""), 200, &status)
	got := status.Upstreams[0]
	require.Equal(t, 3, got.Hosts)
	require.Equal(t, 1, got.Complete)
	require.Equal(t, "fetching", got.Behind[0].Reason)
	require.Equal(t, "no response to heartbeats", got.Behind[1].Reason)
	require.InDelta(t, 2.0, got.OriginCopies, 0.001)
	require.InDelta(t, (1+0.2)/3, got.Progress, 0.001)
	require.Nil(t, got.SecondsLeft, "a single sample gives no rate")
}

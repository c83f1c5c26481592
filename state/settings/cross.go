package settings

import (
	"fmt"
	"slices"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// CheckEdit checks edit against the other documents. It returns every problem of the edited document and every problem that
// the edit causes in another document.
//
// Problems that other documents already had are omitted, so that they don't block unrelated edits.
func CheckEdit(documents []Document, edit Document) Problems {
	problems := CheckBody(edit)
	if len(problems) > 0 {
		return problems
	}
	others := slices.DeleteFunc(slices.Clone(documents), func(d Document) bool { return d.Path == edit.Path })
	before := referenceProblems(documents)
	for _, p := range referenceProblems(append(others, edit)) {
		if p.Path == edit.Path || !slices.Contains(before, p) {
			problems = append(problems, p)
		}
	}
	return problems.sorted()
}

// referenceProblems returns the dangling or mismatched references between documents and the token hashes that several teams
// use.
func referenceProblems(documents []Document) Problems {
	tree, _ := NewTree(documents)
	var problems Problems
	owners := make(map[core.Digest][]core.Team)
	for team, spec := range tree.Teams {
		problems = append(problems, teamProblems(tree, team, spec)...)
		for _, hash := range spec.hashes() {
			if !slices.Contains(owners[hash], team) {
				owners[hash] = append(owners[hash], team)
			}
		}
	}
	for hash, teams := range owners {
		for _, team := range teams {
			if len(teams) > 1 {
				problems = append(problems, Problem{
					Path: TeamPath(team), Field: "token_hashes",
					Reason: fmt.Sprintf("token hash %s is also in use by another team", RedactHash(hash)),
				})
			}
		}
	}
	return problems
}

func teamProblems(tree *Tree, team core.Team, spec TeamSettings) Problems {
	path := TeamPath(team)
	var problems Problems
	for i, model := range spec.Models {
		field := fmt.Sprintf("models[%d].upstream", i)
		problems = append(problems, upstreamProblem(tree, path, field, model.Upstream, KindModel)...)
	}
	for i, service := range spec.Services {
		field := fmt.Sprintf("services[%d].upstream", i)
		problems = append(problems, upstreamProblem(tree, path, field, service.Upstream, KindService)...)
	}
	for i, name := range spec.FailureDomains {
		if _, ok := tree.FailureDomains[name]; !ok {
			problems = append(problems, Problem{
				Path: path, Field: fmt.Sprintf("failure_domains[%d]", i),
				Reason: fmt.Sprintf("failure domain %q does not exist", name),
			})
		}
	}
	return problems
}

func upstreamProblem(tree *Tree, path, field string, name core.Upstream, want UpstreamKind) Problems {
	spec, ok := tree.Upstreams[name]
	switch {
	case !ok:
		return Problems{{Path: path, Field: field, Reason: fmt.Sprintf("upstream %q does not exist", name)}}
	case spec.Kind != want:
		return Problems{{Path: path, Field: field, Reason: fmt.Sprintf("upstream %q has kind %s, want %s", name, spec.Kind, want)}}
	default:
		return nil
	}
}

// CheckTeamAdminEdit returns the fields that an edit by a team's own administrator changes without permission.
func CheckTeamAdminEdit(path string, current, edit TeamSettings) Problems {
	var problems Problems
	addProblem := func(field string) {
		problems = append(problems, Problem{Path: path, Field: field, Reason: "only an operator may change it"})
	}
	if current.Limits != edit.Limits {
		addProblem("limits")
	}
	if current.Weight != edit.Weight {
		addProblem("weight")
	}
	if !slices.Equal(current.FailureDomains, edit.FailureDomains) {
		addProblem("failure_domains")
	}
	return problems
}

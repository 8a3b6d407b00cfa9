package testbed

import (
	"encoding/json"
	"fmt"

	"sesameledge.dev/sesameledge/api"
)

// CheckWhole checks a complete answer of a job whose tasks echo "NAME task INDEX": each task
// started, and each result is the task's own. counts holds the starts by task. It returns
// what is wrong.
func CheckWhole(name string, tasks int, reply *api.Reply, counts map[int]int) []string {
	if len(reply.Tasks) != tasks || len(counts) != tasks {
		return []string{fmt.Sprintf("%s: complete with %d results and %d started tasks of %d", name, len(reply.Tasks), len(counts), tasks)}
	}
	var findings []string
	for i, task := range reply.Tasks {
		var result struct {
			Echo string `json:"echo"`
		}
		want := fmt.Sprintf("%s task %d", name, i)
		if err := json.Unmarshal(task.Result, &result); err != nil || result.Echo != want {
			findings = append(findings, fmt.Sprintf("%s: task %d answered %s", name, i, task.Result))
		}
	}
	return findings
}

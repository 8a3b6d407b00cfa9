package testbed

import (
	"encoding/json"
	"fmt"

	"sesameledge.dev/sesameledge/api"
)

// CheckCompleteReply checks the reply to a completed job whose tasks echo "NAME task INDEX": every task
// started, and every result belongs to its own task. startsByTask holds the number of starts by
// task index. It returns one message for each fault, and none if the reply is correct.
func CheckCompleteReply(name string, tasks int, reply *api.Reply, startsByTask map[int]int) []string {
	if len(reply.Tasks) != tasks || len(startsByTask) != tasks {
		return []string{fmt.Sprintf("%s: complete with %d results and %d started tasks of %d",
			name, len(reply.Tasks), len(startsByTask), tasks)}
	}
	var faults []string
	for i, task := range reply.Tasks {
		var result struct {
			Echo string `json:"echo"`
		}
		want := fmt.Sprintf("%s task %d", name, i)
		if err := json.Unmarshal(task.Result, &result); err != nil || result.Echo != want {
			faults = append(faults, fmt.Sprintf("%s: task %d answered %s", name, i, task.Result))
		}
	}
	return faults
}

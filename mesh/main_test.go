package mesh

import (
	"testing"

	"sesameledge.dev/sesameledge/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"checks": "60"})
}

package host

import (
	"testing"

	"sesameledge.dev/sesameledge/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"checks": "40", "steps": "80"})
}

package member

import (
	"testing"

	"sesameledge.dev/sesameledge/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, nil) }

package quota

import (
	"testing"

	"github.com/hyssopsill/hyssopsill/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

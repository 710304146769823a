package questionnaire

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/version/config"
)

var update = flag.Bool("update", false, "rewrite the generated configurations under examples/")

// A fixed seed gives each run the same result; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var examples = []string{"sunbake", "anfb"}

func readExample(t testing.TB, name, file string) (string, []byte) {
	t.Helper()
	path := filepath.Join("..", "examples", name, file)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, data
}

// Guards against examples whose generated configuration is stale or invalid.
func TestExamplesAreUpToDate(t *testing.T) {
	for _, name := range examples {
		path, data := readExample(t, name, "questionnaire.toml")
		got, list := Generate(path, data)
		if len(list) > 0 {
			t.Fatal(list)
		}
		if *update {
			if err := os.WriteFile(filepath.Join("..", "examples", name, "config.toml"), got, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		_, want := readExample(t, name, "config.toml")
		if !bytes.Equal(got, want) {
			t.Errorf("examples/%s/config.toml is stale; run go test ./questionnaire -run Examples -update", name)
		}
		checkConfig(t, want)
	}
}

// checkConfig parses and validates a generated configuration and returns it.
func checkConfig(t testing.TB, data []byte) *config.Config {
	t.Helper()
	c, list := config.Parse("config.toml", data)
	if len(list) > 0 {
		t.Fatalf("generated configuration: %v\n%s", list, data)
	}
	return c
}

// Guards against derived values that contradict the answers.
func TestGeneratedValues(t *testing.T) {
	path, data := readExample(t, "sunbake", "questionnaire.toml")
	text, list := Generate(path, data)
	if len(list) > 0 {
		t.Fatal(list)
	}
	c := checkConfig(t, text)
	orders, library := c.Services["orders"], c.Services["library"]
	if orders.Floor != 0.75 || orders.Classes["place"].Idempotent || orders.Classes["place"].Priority != config.PriorityOrder {
		t.Errorf("orders: %+v", orders)
	}
	if !orders.Classes["view"].Idempotent || !library.Classes["guide"].Long || !library.Classes["index"].Learn {
		t.Errorf("view %+v, library %+v", orders.Classes["view"], library)
	}
	if len(c.Routes) != 7 || c.Routes[3].ID != "orders-place-2" {
		t.Errorf("routes: %+v", c.Routes)
	}
	for i, line := range strings.Split(string(text), "\n") {
		if strings.Contains(line, " = ") && !strings.HasPrefix(line, "#") && !strings.Contains(line, "# from ") {
			t.Errorf("line %d does not say which answers it comes from: %s", i+1, line)
		}
	}
}

// Guards against findings of a questionnaire that are left out, or that lack file,
// line or key.
func TestCheckReportsAllFindingsWithPlaces(t *testing.T) {
	text := `organisation = "x"
[[services]]
name = "Bad Name"
purpose = "p"
instances = 2
slots_per_instance = 1.5
instances_out = 2
warm_up = "5"
when_full = "wait"
[[services.work]]
name = "a"
purpose = "p"
paths = ["orders"]
twice_hurts = "perhaps"
typical = "3s"
longest = "1s"
runs = 3
usual_demand = 5
peak_demand = 2
extra = 1
`
	want := map[string]int{
		"services[0].name": 3, "services[0].slots_per_instance": 6, "services[0].instances_out": 7,
		"services[0].warm_up": 8, "services[0].longest_wait": 2, "services[0].work[0].paths": 13,
		"services[0].work[0].twice_hurts": 14, "services[0].work[0].longest": 16, "services[0].work[0].peak_demand": 19,
		"services[0].work[0].runs": 17, "services[0].work[0].extra": 20,
	}
	got := map[string]int{}
	list := Check("q.toml", []byte(text))
	if len(list) != len(want) {
		t.Errorf("%d findings, want one for each of %d keys: %v", len(list), len(want), list)
	}
	for _, f := range list {
		got[f.Key] = f.Line
		if f.File != "q.toml" {
			t.Errorf("finding without its file: %v", f)
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %v\nwant %v", got, want)
	}
}

// Guards against a template that does not parse or is otherwise invalid: each of
// its findings must be an unanswered question.
func TestNewHasOnlyUnansweredQuestions(t *testing.T) {
	list := Check("new.toml", New())
	if len(list) < 10 {
		t.Errorf("only %d questions are open: %v", len(list), list)
	}
	for _, f := range list {
		if !strings.Contains(f.Message, "not answered") || f.Line == 0 {
			t.Errorf("%v", f)
		}
	}
}

// scriptedTerminal is a Terminal whose input lines come from a script.
type scriptedTerminal struct {
	io.Writer
	script *bufio.Scanner
}

func (s scriptedTerminal) ReadLine() (string, error) {
	if !s.script.Scan() {
		return "", io.EOF
	}
	return s.script.Text(), nil
}

// Guards against an interactive mode that accepts an invalid answer or produces a
// questionnaire that Check rejects.
func TestAskRepeatsQuestionAfterInvalidAnswer(t *testing.T) {
	input := `Sunbake

Orders
orders
takes orders

8
6
8
2
5s

wait
soon
1s
15
0
0
place
order kits
/orders
POST
yes
120ms
10s
short
20
200
0
no
no
`
	var out bytes.Buffer
	a, err := Ask(scriptedTerminal{&out, bufio.NewScanner(strings.NewReader(input))})
	if err != nil {
		t.Fatal(err, out.String())
	}
	if list := Check("asked.toml", a.Encode()); len(list) > 0 {
		t.Error(list)
	}
	if s := a.Services[0]; s.Name != "orders" || s.InstancesOut != 2 || s.LongestWait != "1s" || s.Work[0].Paths[0] != "/orders" {
		t.Errorf("got %+v", s)
	}
}

// Guards against an encoding that loses or changes answers.
func TestEncodeRoundTrip(t *testing.T) {
	word := rapid.StringMatching(`[a-z0-9"\\ é#=\[\]]{0,12}`)
	rapid.Check(t, func(t *rapid.T) {
		a := Answers{Organisation: word.Draw(t, "organisation")}
		for range rapid.IntRange(0, 3).Draw(t, "services") {
			s := Service{Purpose: word.Draw(t, "purpose"), Instances: Count(rapid.IntRange(0, 99).Draw(t, "instances")),
				CustomerPercent: rapid.Float64Range(0, 100).Draw(t, "percent")}
			for range rapid.IntRange(0, 2).Draw(t, "works") {
				s.Work = append(s.Work, Work{Paths: rapid.SliceOfN(word, 1, 3).Draw(t, "paths"), Methods: []string{},
					TwiceHurts: YesNo(word.Draw(t, "twice"))})
			}
			a.Services = append(a.Services, s)
		}
		got, list := Parse("q.toml", a.Encode())
		for _, f := range list {
			if strings.Contains(f.Message, "toml") {
				t.Fatal(f)
			}
		}
		if !reflect.DeepEqual(got, a) {
			t.Fatalf("got  %+v\nwant %+v", got, a)
		}
	})
}

// Guards against a floor that keeps a number of instances in use that differs
// from the answers.
func TestFloorKeepsExactNumber(t *testing.T) {
	for n := 1; n <= 300; n++ {
		for instancesOut := range n {
			s := Service{Instances: Count(n), InstancesOut: Count(instancesOut)}
			kept := 0
			for float64(kept) < s.floor()*float64(n) {
				kept++
			}
			if kept != n-instancesOut {
				t.Fatalf("%d of %d out: floor %v keeps %d", instancesOut, n, s.floor(), kept)
			}
		}
	}
}

// FuzzParse guards against input that crashes the process, and against accepted
// answers whose generated configuration is invalid.
func FuzzParse(f *testing.F) {
	for _, name := range examples {
		_, data := readExample(f, name, "questionnaire.toml")
		f.Add(data)
	}
	f.Add(New())
	f.Fuzz(func(t *testing.T, data []byte) {
		text, list := Generate("fuzz.toml", data)
		for _, finding := range list {
			if finding.File != "fuzz.toml" || finding.Message == "" {
				t.Fatalf("finding without file or message: %+v", finding)
			}
		}
		if len(list) == 0 {
			checkConfig(t, text)
		}
	})
}

func BenchmarkGenerate(b *testing.B) {
	_, data := readExample(b, "sunbake", "questionnaire.toml")
	a, _ := Parse("q.toml", data)
	for _, n := range []int{3, 30, 140} {
		many := a
		many.Services = nil
		for i := range n {
			s := a.Services[i%3]
			s.Name, s.Host = fmt.Sprint(s.Name, i), fmt.Sprint("h", i)
			many.Services = append(many.Services, s)
		}
		text := many.Encode()
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, list := Generate("q.toml", text); len(list) > 0 {
					b.Fatal(list)
				}
			}
		})
	}
}

package bench_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/knapweedpulley/knapweedpulley/bench"
)

var recorder *bench.Recorder

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	var err error
	if recorder, err = bench.NewRecorder(); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	code := m.Run()
	figures, out := recorder.Print(os.Stdout)
	fmt.Printf("bench: %d figures, %d out of bounds\n", figures, out)
	if out > 0 {
		code = 1
	}
	os.Exit(code)
}

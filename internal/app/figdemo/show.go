package figdemo

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/figtimer"
)

const (
	// shownTokens is the length of the printed answer, in tokens.
	shownTokens = 24
	// showTimeout is the timeout for printing the answer, including retries.
	showTimeout = 10 * time.Second
	// showRetryPause is the pause before a refused request is retried. Budgets start empty,
	// so a new fleet refuses requests in its first seconds.
	showRetryPause = 200 * time.Millisecond
	// progressInterval is the interval between the dots that show the progress.
	progressInterval = 500 * time.Millisecond
)

// showStream sends one streaming request and prints the answer to w as it arrives. It retries
// a refused request until showTimeout has passed.
func showStream(ctx context.Context, address, key string, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, showTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"summarise the deposit dispute of gate four"}]}`,
		modelName, shownTokens)
	t := figtimer.New(figtimer.System())
	for {
		a, err := post(ctx, address, key, body)
		if err != nil {
			return figerror.Wrap(err, "show an answer", address)
		}
		if a.StatusCode == http.StatusOK {
			err := printStream(a.Body, w)
			return errors.CombineErrors(err, a.Body.Close())
		}
		text, _ := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if t.Sleep(ctx, showRetryPause) != nil {
			return figerror.Newf("show an answer", address, "HTTP %d: %s", a.StatusCode, text)
		}
	}
}

func post(ctx context.Context, address, key, body string) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(q)
}

// printStream prints the text of each event. It returns an error if the stream ends without
// its end marker [DONE].
func printStream(body io.Reader, w io.Writer) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			_, err := fmt.Fprintln(w)
			return err
		}
		if _, err := io.WriteString(w, gjson.GetBytes(data, "choices.0.delta.content").Str); err != nil {
			return err
		}
	}
	return figerror.New("show an answer", "", "the stream ended without its end marker [DONE]")
}

// showProgress prints a dot at each interval until stop is called. duration is the
// duration of the load.
func showProgress(ctx context.Context, t *figtimer.Timer, duration time.Duration, w io.Writer) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		fmt.Fprintf(w, "sending load for %v ", duration)
		for range t.Subscribe(ctx, progressInterval) {
			fmt.Fprint(w, ".")
		}
		fmt.Fprintln(w)
	}()
	return func() {
		cancel()
		<-done
	}
}

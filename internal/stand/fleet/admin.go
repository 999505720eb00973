package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/flow/order"
)

// GetJSON gets a path from the operators' address of a process and decodes the JSON into answer.
func (f *Fleet) GetJSON(ctx context.Context, process, path string, answer any) (err error) {
	defer func() { err = errors.Wrapf(err, "get %s %s", process, path) }()
	body, err := f.send(ctx, http.MethodGet, process, path, "")
	if err != nil {
		return err
	}
	defer body.Close()
	return json.NewDecoder(body).Decode(answer)
}

// Post sends a command to a stand-in.
func (f *Fleet) Post(ctx context.Context, process, path, text string) (err error) {
	defer func() { err = errors.Wrapf(err, "post %s %s", process, path) }()
	body, err := f.send(ctx, http.MethodPost, process, path, text)
	if err != nil {
		return err
	}
	return body.Close()
}

func (f *Fleet) send(ctx context.Context, method, process, path, text string) (io.ReadCloser, error) {
	url := "http://" + f.Process(process).Operator.String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(text))
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode == http.StatusOK {
		return answer.Body, nil
	}
	defer answer.Body.Close()
	why, err := io.ReadAll(answer.Body)
	return nil, errors.CombineErrors(errors.Newf("%s: %s", answer.Status, why), err)
}

// Revision returns the revision of a service document that is in force at a process, or 0 if
// the process has none.
func (f *Fleet) Revision(ctx context.Context, process, service string) (revision order.Revision, err error) {
	var status struct {
		Sections struct {
			Documents []struct {
				Name     string         `json:"name"`
				Revision order.Revision `json:"revision"`
			} `json:"documents"`
		} `json:"sections"`
	}
	if err := f.GetJSON(ctx, process, "/status", &status); err != nil {
		return 0, err
	}
	for _, d := range status.Sections.Documents {
		if d.Name == service {
			return d.Revision, nil
		}
	}
	return 0, nil
}

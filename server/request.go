package server

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/garnetworks/garnetworks"
)

// modelRequest is a parsed model request, not yet checked against the workspace.
type modelRequest struct {
	// Model is "name" or "name:adapter".
	Model  string
	Prompt string
	// SharedParts identify the messages but the last one.
	SharedParts []garnetworks.PromptPart
	// MaxTokens is 0 if the request does not set it.
	MaxTokens    int
	Temperature  float64
	Stop         []string
	Stream       bool
	IncludeUsage bool
}

// Limits of a request's fields.
const (
	maxStops       = 4 // strings
	maxStopBytes   = 256
	maxTemperature = 2 // no unit, as in the OpenAI API
	// defaultTemperature is the default of the OpenAI API.
	defaultTemperature = 1
)

// commonFields are the fields of both chat and completion requests. N to Seed are not
// supported: any value other than the default is refused (rule H5).
type commonFields struct {
	Model         string          `json:"model"`
	MaxTokens     *int            `json:"max_tokens"`
	Temperature   *float64        `json:"temperature"`
	Stop          json.RawMessage `json:"stop"`
	Stream        bool            `json:"stream"`
	StreamOptions *streamOptions  `json:"stream_options"`

	N                json.RawMessage `json:"n"`
	TopP             json.RawMessage `json:"top_p"`
	PresencePenalty  json.RawMessage `json:"presence_penalty"`
	FrequencyPenalty json.RawMessage `json:"frequency_penalty"`
	LogitBias        json.RawMessage `json:"logit_bias"`
	Logprobs         json.RawMessage `json:"logprobs"`
	Seed             json.RawMessage `json:"seed"`

	// User and Metadata don't affect the response and are ignored.
	User     json.RawMessage `json:"user"`
	Metadata json.RawMessage `json:"metadata"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatFields struct {
	commonFields
	Messages            []chatMessage   `json:"messages"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Tools               json.RawMessage `json:"tools"`
	ToolChoice          json.RawMessage `json:"tool_choice"`
	ResponseFormat      json.RawMessage `json:"response_format"`
	TopLogprobs         json.RawMessage `json:"top_logprobs"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
	// Name is the participant's name, which becomes part of the prompt.
	Name string `json:"name"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

type completionFields struct {
	commonFields
	Prompt json.RawMessage `json:"prompt"`
	Echo   json.RawMessage `json:"echo"`
	BestOf json.RawMessage `json:"best_of"`
	Suffix json.RawMessage `json:"suffix"`
}

// unsupportedField is a field of a request with the values that have no effect.
type unsupportedField struct {
	name    string
	value   json.RawMessage
	allowed []string
}

// parseChat parses a chat completion request.
func parseChat(body []byte) (*modelRequest, error) {
	var fields chatFields
	if err := decode(body, &fields); err != nil {
		return nil, err
	}
	err := checkUnsupported(
		unsupportedField{"tools", fields.Tools, []string{"[]"}},
		unsupportedField{"tool_choice", fields.ToolChoice, []string{`"none"`, `"auto"`}},
		unsupportedField{"response_format", fields.ResponseFormat, []string{`{"type":"text"}`}},
		unsupportedField{"top_logprobs", fields.TopLogprobs, []string{"0"}},
	)
	if err != nil {
		return nil, err
	}
	if fields.MaxTokens != nil && fields.MaxCompletionTokens != nil && *fields.MaxTokens != *fields.MaxCompletionTokens {
		return nil, invalid("max_tokens and max_completion_tokens differ")
	}
	if fields.MaxCompletionTokens != nil {
		fields.MaxTokens = fields.MaxCompletionTokens
	}
	request, err := fields.toModelRequest()
	if err != nil {
		return nil, err
	}
	request.Prompt, request.SharedParts, err = buildPrompt(fields.Messages)
	return request, err
}

// parseCompletion parses a completion request.
func parseCompletion(body []byte) (*modelRequest, error) {
	var fields completionFields
	if err := decode(body, &fields); err != nil {
		return nil, err
	}
	err := checkUnsupported(
		unsupportedField{"echo", fields.Echo, []string{"false"}},
		unsupportedField{"best_of", fields.BestOf, []string{"1"}},
		unsupportedField{"suffix", fields.Suffix, []string{`""`}},
	)
	if err != nil {
		return nil, err
	}
	request, err := fields.toModelRequest()
	if err != nil {
		return nil, err
	}
	prompts, err := stringOrList("prompt", fields.Prompt)
	if err != nil {
		return nil, err
	}
	if len(prompts) != 1 || prompts[0] == "" {
		return nil, invalid("prompt must be one string that is not empty")
	}
	request.Prompt = prompts[0]
	return request, nil
}

// decode decodes exactly one JSON object and refuses unknown fields.
func decode(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return invalid(decodeDetail(err))
	}
	if _, err := d.Token(); err != io.EOF {
		return invalid("the body goes on after its JSON object")
	}
	return nil
}

// decodeDetail returns the decoder's error as a message for the caller.
func decodeDetail(err error) string {
	detail := strings.TrimPrefix(err.Error(), "json: ")
	if err == io.EOF {
		detail = "it is empty"
	}
	return "the body is not a valid request: " + detail
}

func invalid(detail string) error {
	return &garnetworks.Error{Kind: garnetworks.KindInvalidRequest, Detail: detail}
}

// checkUnsupported returns an error that names the first field whose value is not allowed.
func checkUnsupported(fields ...unsupportedField) error {
	for _, f := range fields {
		if !hasAllowedValue(f) {
			return invalid(f.name + " is not supported")
		}
	}
	return nil
}

func hasAllowedValue(f unsupportedField) bool {
	if len(f.value) == 0 || string(f.value) == "null" {
		return true
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, f.value); err != nil {
		return false
	}
	for _, v := range f.allowed {
		if compact.String() == v {
			return true
		}
	}
	return false
}

// toModelRequest checks the common fields and returns them as a modelRequest.
func (f *commonFields) toModelRequest() (*modelRequest, error) {
	err := checkUnsupported(
		unsupportedField{"n", f.N, []string{"1"}},
		unsupportedField{"top_p", f.TopP, []string{"1", "1.0"}},
		unsupportedField{"presence_penalty", f.PresencePenalty, []string{"0", "0.0"}},
		unsupportedField{"frequency_penalty", f.FrequencyPenalty, []string{"0", "0.0"}},
		unsupportedField{"logit_bias", f.LogitBias, []string{"{}"}},
		unsupportedField{"logprobs", f.Logprobs, []string{"false", "0"}},
		unsupportedField{"seed", f.Seed, nil},
	)
	if err != nil {
		return nil, err
	}
	request := &modelRequest{Model: f.Model, Stream: f.Stream, Temperature: defaultTemperature}
	if f.Model == "" {
		return nil, invalid("model is missing")
	}
	if f.MaxTokens != nil {
		if *f.MaxTokens < 1 {
			return nil, invalid("max_tokens must be above 0")
		}
		request.MaxTokens = *f.MaxTokens
	}
	if f.Temperature != nil {
		if *f.Temperature < 0 || *f.Temperature > maxTemperature {
			return nil, invalid("temperature must be from 0 to 2")
		}
		request.Temperature = *f.Temperature
	}
	if f.StreamOptions != nil {
		if !f.Stream {
			return nil, invalid("stream_options needs stream")
		}
		request.IncludeUsage = f.StreamOptions.IncludeUsage
	}
	request.Stop, err = parseStops(f.Stop)
	return request, err
}

func parseStops(raw json.RawMessage) ([]string, error) {
	list, err := stringOrList("stop", raw)
	if err != nil {
		return nil, err
	}
	if len(list) > maxStops {
		return nil, invalid("stop holds more than 4 strings")
	}
	for _, s := range list {
		if s == "" || len(s) > maxStopBytes {
			return nil, invalid("a stop string must have 1 to 256 bytes")
		}
	}
	return list, nil
}

// stringOrList decodes a string, a list of strings, or null.
func stringOrList(name string, raw json.RawMessage) ([]string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	if raw[0] == '"' {
		var single string
		if err := json.Unmarshal(raw, &single); err != nil {
			return nil, invalid(name + " is not a string")
		}
		return []string{single}, nil
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, invalid(name + " must be a string or a list of strings")
	}
	return list, nil
}

// roles are the supported roles of messages.
var roles = garnetworks.NewSet("system", "developer", "user", "assistant")

// buildPrompt joins the messages to a prompt, and identifies those that other calls may share. Each
// message is a header line with its role, followed by its text; the prompt ends with the header of
// the response. Conversations with the same beginning have the same prefix, as the engines' prefix
// caches need.
func buildPrompt(messages []chatMessage) (string, []garnetworks.PromptPart, error) {
	if len(messages) == 0 {
		return "", nil, invalid("messages is empty")
	}
	var prompt strings.Builder
	var parts []garnetworks.PromptPart
	for i, m := range messages {
		if !roles.Has(m.Role) {
			return "", nil, invalid("the role of a message must be system, developer, user or assistant")
		}
		text, err := messageText(m.Content)
		if err != nil {
			return "", nil, err
		}
		// Failure: a user's text that contains a message header would reach the engine as a
		// message of another role.
		if strings.Contains(text, headerStart) || strings.ContainsAny(m.Name, "<|>\n") {
			return "", nil, invalid("a message holds " + headerStart + ", which marks the role of messages")
		}
		writeHeader(&prompt, m.Role, m.Name)
		prompt.WriteString(text)
		prompt.WriteByte('\n')
		if i < len(messages)-1 && i < garnetworks.MaxSharedParts {
			parts = append(parts, garnetworks.PromptPartOf(text))
		}
	}
	writeHeader(&prompt, "assistant", "")
	return prompt.String(), parts, nil
}

// headerStart begins the header line of a message.
const headerStart = "<|"

func writeHeader(prompt *strings.Builder, role, name string) {
	prompt.WriteString(headerStart)
	prompt.WriteString(role)
	if name != "" {
		prompt.WriteByte(' ')
		prompt.WriteString(name)
	}
	prompt.WriteString("|>\n")
}

func messageText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", invalid("a message has no content")
	}
	if raw[0] == '"' {
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return "", invalid("the content of a message is not a string")
		}
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", invalid("the content of a message must be a string or a list of text parts")
	}
	var text strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", invalid("a part of a message must be of type text")
		}
		text.WriteString(p.Text)
	}
	return text.String(), nil
}

package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed names.json
var namesFile []byte

// wireNames are the names of the platform's headers, paths and topics.
type wireNames struct {
	Attempt       string `json:"attempt"`
	Model         string `json:"model"`
	Tokens        string `json:"tokens"`
	Parts         string `json:"parts"`
	Left          string `json:"left"`
	Expect        string `json:"expect"`
	ExpectVersion string `json:"expectVersion"`
	Seal          string `json:"seal"`
	NotRun        string `json:"notRun"`
	Instance      string `json:"instance"`
	Order         string `json:"order"`
	Report        string `json:"report"`
	Ready         string `json:"ready"`
	Append        string `json:"append"`
	Read          string `json:"read"`
	Newest        string `json:"newest"`
	ConfigTopic   string `json:"configTopic"`
	ServerTopic   string `json:"serverTopic"`
	BootVariable  string `json:"bootVariable"`
	PrefixField   string `json:"prefixField"`
	Affinity      string `json:"affinity"`
}

var names wireNames

func loadNames() error {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		return fmt.Errorf("decode names: %w", err)
	}
	return nil
}

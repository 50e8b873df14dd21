package agent

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"

	"olivedale/internal/config"
)

// Permissions of an instance's files.
const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// writeFiles writes the configuration files of an instance below dir and returns the path of the platform's file.
func writeFiles(dir string, spec *Spec) (configPath string, err error) {
	operatorPath := filepath.Join(dir, config.OperatorPath)
	if err := os.MkdirAll(filepath.Dir(operatorPath), directoryMode); err != nil {
		return "", err
	}
	configPath = filepath.Join(dir, "config.json")
	if err := os.WriteFile(configPath, spec.Config, fileMode); err != nil {
		return "", err
	}
	// Earlier versions of the agent wrote the settings of the H.248 frontend to a separate file.
	obsoletePath := filepath.Join(dir, config.H248Path)
	if err := os.Remove(obsoletePath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(spec.operatorFile()); err != nil {
		return "", err
	}
	return configPath, os.WriteFile(operatorPath, text.Bytes(), fileMode)
}

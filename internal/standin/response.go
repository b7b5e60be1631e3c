package standin

import (
	"encoding/json"
	"net/http"
)

type errorDocument struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	Findings []struct {
		Place   string `json:"place"`
		Message string `json:"message"`
	} `json:"findings,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorDocument{Error: errorBody{Code: code, Message: message}})
}

package main

func viewRace(w *World) ([]string, error) { return nil, nil }

package main

func viewRace(record *Record, trouble bool) ([]string, error) { return nil, nil }

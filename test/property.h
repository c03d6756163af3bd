#pragma once

#include <string>

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

/// Runs a RapidCheck property inside a CppUTest test. The seed is read from RC_PARAMS.
#define CHECK_PROPERTY(name, ...)                                                                  \
    CHECK_TRUE_TEXT(rc::check(name, __VA_ARGS__), "property falsified: " name)

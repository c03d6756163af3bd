// Entry point shared by all test programs.

#include <cstdlib>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {
/// Settings of the property generator if RC_PARAMS is not set. The fixed seed makes runs
/// reproducible.
constexpr auto default_property_parameters = "seed=20261203";
} // namespace

int main(int argc, char** argv)
{
    constexpr int keep_existing = 0;
    setenv("RC_PARAMS", default_property_parameters, keep_existing);
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}

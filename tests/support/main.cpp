// Runs the registered CppUnit tests.  Usage: <program> [--known-red FILE] [test path]
// Failures of tests listed in FILE are printed but do not change the exit status, which is 1 if any
// other test fails.
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

namespace {

// \returns the test names of KNOWN-RED.txt: the first of its columns, which '|' separates.
std::set<std::string> read_known_red(const std::string& path) {
  std::set<std::string> names;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (line.empty() || line.front() == '#') {
      continue;
    }
    std::string name = line.substr(0, line.find('|'));
    name.erase(name.find_last_not_of(' ') + 1);
    names.insert(name);
  }
  return names;
}

class counting_listener final : public CppUnit::TestListener {
 public:
  explicit counting_listener(std::set<std::string> known_red) : known_red_(std::move(known_red)) {}

  // Flushes the name before the test runs, so that the output of a killed program shows where it
  // hung.
  void startTest(CppUnit::Test* test) override {
    current_test_failed_ = false;
    std::cout << "running " << test->getName() << std::endl;
  }

  void addFailure(const CppUnit::TestFailure& failure) override {
    current_test_failed_ = true;
    const bool known = known_red_.count(failure.failedTestName()) > 0;
    std::cout << (known ? "known red " : "FAILED ") << failure.failedTestName() << " at "
              << failure.sourceLine().fileName() << ":" << failure.sourceLine().lineNumber() << "\n"
              << failure.thrownException()->what() << "\n";
  }

  void endTest(CppUnit::Test* test) override {
    if (!current_test_failed_) {
      ++passed_;
    } else if (known_red_.count(test->getName()) == 0) {
      ++failed_;
    }
  }

  [[nodiscard]] int passed() const { return passed_; }
  [[nodiscard]] int failed() const { return failed_; }

 private:
  std::set<std::string> known_red_;
  bool current_test_failed_ = false;
  int passed_ = 0;
  int failed_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  std::string known_red;
  std::string path;
  for (int index = 1; index < argc; ++index) {
    const std::string word = argv[index];
    if (word == "--known-red" && index + 1 < argc) {
      known_red = argv[++index];
    } else {
      path = word;
    }
  }
  CppUnit::TestResult controller;
  counting_listener listener(read_known_red(known_red));
  controller.addListener(&listener);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller, path);
  std::cout << listener.passed() << " passed, " << listener.failed() << " failed\n";
  return listener.failed() == 0 ? 0 : 1;
}

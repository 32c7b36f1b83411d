#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>
#include <string>

// Runs all registered tests, or those below the test path given as the first
// argument.
int main(int argc, char** argv) {
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.setOutputter(new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  return runner.run(argc > 1 ? std::string(argv[1]) : std::string(), false, true, false) ? 0 : 1;
}

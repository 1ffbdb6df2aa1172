// Defines and registers a CppUnit test named after the behavior it checks.
//
//     TEST_THAT(stepped_clock, moves_only_when_told) { CPPUNIT_ASSERT_EQUAL(expected, actual); }
#ifndef HAWTHORNNOTCH_TESTS_SUPPORT_TEST_CASE_H_
#define HAWTHORNNOTCH_TESTS_SUPPORT_TEST_CASE_H_

#include <cppunit/TestAssert.h>
#include <cppunit/TestCase.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactory.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

namespace hawthornnotch::test {

// Registers one test case class; CppUnit's registry takes ownership of what makeTest returns.
template <class Case>
class case_factory final : public CppUnit::TestFactory {
 public:
  case_factory() { CppUnit::TestFactoryRegistry::getRegistry().registerFactory(this); }
  CppUnit::Test* makeTest() override { return new Case(); }  // NOLINT
};

}  // namespace hawthornnotch::test

// NOLINTBEGIN
#define TEST_THAT(subject, sentence)                                     \
  class subject##_##sentence##_case : public CppUnit::TestCase {         \
   public:                                                               \
    subject##_##sentence##_case() : TestCase(#subject "::" #sentence) {} \
    void runTest() override;                                             \
  };                                                                     \
  static hawthornnotch::test::case_factory<subject##_##sentence##_case>  \
      subject##_##sentence##_factory;                                    \
  void subject##_##sentence##_case::runTest()
// NOLINTEND

#endif  // HAWTHORNNOTCH_TESTS_SUPPORT_TEST_CASE_H_

// Tests named as the sentence they prove.
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
#define TEST_THAT(concept_name, sentence)                                          \
  class concept_name##_##sentence##_case : public CppUnit::TestCase {              \
   public:                                                                         \
    concept_name##_##sentence##_case() : TestCase(#concept_name "::" #sentence) {} \
    void runTest() override;                                                       \
  };                                                                               \
  static hawthornnotch::test::case_factory<concept_name##_##sentence##_case>       \
      concept_name##_##sentence##_factory;                                         \
  void concept_name##_##sentence##_case::runTest()
// NOLINTEND

#endif  // HAWTHORNNOTCH_TESTS_SUPPORT_TEST_CASE_H_

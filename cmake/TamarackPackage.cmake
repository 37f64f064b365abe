# tamarack_package(NAME [PROGRAM NAME MAIN FILE] USES ...)
#
# Declares one package of the workspace: a library of src/*.cpp with its
# public headers in include/, one test program of test/*Test.cpp, and one
# benchmark program of bench/*Bench.cpp where there are any. CXX20 compiles it
# as C++20; the packages that use websocketpp cannot be.
function(tamarack_package Name)
  cmake_parse_arguments(ARG "CXX20" "" "USES" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS src/*.cpp)
  list(FILTER Sources EXCLUDE REGEX "Main\\.cpp$")
  add_library(tamarack_${Name} STATIC ${Sources})
  target_include_directories(tamarack_${Name} PUBLIC include PRIVATE src)
  target_link_libraries(tamarack_${Name} PUBLIC ${ARG_USES} Threads::Threads)
  if(ARG_CXX20)
    target_compile_features(tamarack_${Name} PUBLIC cxx_std_20)
    # GCC 12 takes the frames of Asio's coroutines for memory that is freed by
    # the wrong function; where it does depends on what it inlines.
    target_compile_options(tamarack_${Name} PUBLIC -Wno-mismatched-new-delete)
  endif()

  if(TAMARACK_PLATFORM_ONLY)
    return()
  endif()
  file(GLOB Tests CONFIGURE_DEPENDS test/*Test.cpp)
  if(Tests)
    tamarack_test(${Name} tamarack_${Name} ${Tests})
    target_include_directories(${Name}_test PRIVATE src)
  endif()

  file(GLOB Benches CONFIGURE_DEPENDS bench/*Bench.cpp)
  if(Benches)
    add_executable(${Name}_bench ${Benches})
    target_include_directories(${Name}_bench PRIVATE src bench)
    target_link_libraries(${Name}_bench PRIVATE tamarack_${Name}
      benchmark::benchmark_main)
  endif()
endfunction()

# tamarack_test(NAME LIBRARY FILES...): one test program, known to ctest. Cases
# that have a ctest entry of their own, as those of KNOWN-RED.txt must, are named
# in the target property TAMARACK_OWN_ENTRY.
function(tamarack_test Name Library)
  add_executable(${Name}_test ${ARGN} ${CMAKE_SOURCE_DIR}/cmake/TestMain.cpp)
  target_include_directories(${Name}_test PRIVATE test)
  target_compile_definitions(${Name}_test PRIVATE BOOST_TEST_DYN_LINK
    TAMARACK_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  target_link_libraries(${Name}_test PRIVATE ${Library}
    Boost::unit_test_framework rapidcheck)
  set(OwnEntry $<TARGET_PROPERTY:${Name}_test,TAMARACK_OWN_ENTRY>)
  add_test(NAME ${Name} COMMAND ${Name}_test --log_level=test_suite
    "$<$<BOOL:${OwnEntry}>:--run_test=!${OwnEntry}>" COMMAND_EXPAND_LISTS)
  # RapidCheck draws the same histories on every run.
  set_tests_properties(${Name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261203" TIMEOUT 300)
endfunction()

# tamarack_program(NAME MAIN USES...): a program with one main file in src/.
function(tamarack_program Name Main)
  add_executable(${Name} src/${Main})
  target_include_directories(${Name} PRIVATE src)
  target_link_libraries(${Name} PRIVATE ${ARGN})
  set_target_properties(${Name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

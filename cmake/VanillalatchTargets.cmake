# vl_library(NAME DEPS...) adds the library vl_NAME from every *.cc file of the
# current folder and links it to DEPS. If VL_TESTS is on, it also adds the
# program NAME_tests from the *_test.cc files, registered with ctest, and one
# benchmark program for each *_bench.cc file.
function(vl_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cc)
  file(GLOB benches CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_bench.cc)
  if(tests OR benches)
    list(REMOVE_ITEM sources ${tests} ${benches})
  endif()
  if(sources)
    add_library(vl_${name} STATIC ${sources})
    target_include_directories(vl_${name} PUBLIC ${PROJECT_SOURCE_DIR}/include
                               PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(vl_${name} PUBLIC ${ARGN})
  else()
    add_library(vl_${name} INTERFACE)
    target_include_directories(vl_${name} INTERFACE ${PROJECT_SOURCE_DIR}/include)
    target_link_libraries(vl_${name} INTERFACE ${ARGN})
  endif()
  if(NOT VL_TESTS)
    return()
  endif()
  if(tests)
    add_executable(${name}_tests ${tests})
    target_include_directories(${name}_tests PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(${name}_tests PRIVATE vl_${name} vl_test_main ${VL_TEST_DEPS})
    catch_discover_tests(${name}_tests TEST_PREFIX "${name}: "
                         WORKING_DIRECTORY ${PROJECT_SOURCE_DIR}
                         PROPERTIES TIMEOUT 120)
  endif()
  foreach(bench ${benches})
    get_filename_component(bench_name ${bench} NAME_WE)
    add_executable(${bench_name} ${bench})
    target_include_directories(${bench_name} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(${bench_name} PRIVATE vl_${name} benchmark::benchmark)
  endforeach()
endfunction()
